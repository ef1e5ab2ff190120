/** Cuts a byte stream into lines that end in CR LF, as PROTOCOL.md says; bytes stay as they are. */
export class LineCutter {
  private rest = '';

  /** Adds bytes (as latin1, so that none changes) and returns the complete lines. */
  push(chunk: Buffer): string[] {
    const parts = (this.rest + chunk.toString('latin1')).split('\r\n');
    this.rest = parts.pop() ?? '';
    return parts;
  }
}

/** Splits a text at its first blank. */
export function cut(text: string): [string, string] {
  const at = text.indexOf(' ');
  return at === -1 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)];
}

/** A position of a log: TERM.NUMBER. */
export interface Position {
  readonly term: number;
  readonly number: number;
}

export function formatPosition({ term, number }: Position): string {
  return `${term}.${number}`;
}

export function parsePosition(text: string): Position {
  const [term, number] = text.split('.').map(Number);
  return { term: term ?? 0, number: number ?? 0 };
}

export function isAtLeast(a: Position, b: Position): boolean {
  return a.term > b.term || (a.term === b.term && a.number >= b.number);
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
}
