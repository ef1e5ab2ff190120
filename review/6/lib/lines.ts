/** End of a message on the wire. */
const LINE_END = '\r\n';

/** Returns a function that takes bytes and passes each completed line on, without its end. */
export function createLineSplitter(onLine: (line: string) => void): (chunk: Buffer) => void {
  let parts: Buffer[] = [];
  return (chunk) => {
    parts.push(chunk);
    // A line of 1 MiB comes in many chunks, most of which end no line.
    if (!chunk.includes('\n')) return;
    let data = Buffer.concat(parts);
    for (let at = data.indexOf(LINE_END); at !== -1; at = data.indexOf(LINE_END)) {
      const line = data.toString('latin1', 0, at);
      data = data.subarray(at + LINE_END.length);
      onLine(line);
    }
    parts = data.length > 0 ? [data] : [];
  };
}

/** Splits a text at its first blank. */
export function splitWord(text: string): readonly [string, string] {
  const at = text.indexOf(' ');
  return at === -1 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)];
}
