/** What stands before a statement, and the statement. */
export interface LeadingComments {
  /** Inside of the first comment that begins with the word `rosedeck`, behind this word. */
  readonly marks?: string;
  /** The statement without its leading comments. */
  readonly statement: string;
}

/** One comment; an executable one belongs to the statement. */
const COMMENT = /\s*(?:\/\*(?!!)([\s\S]*?)\*\/|--(?:[^\S\n][^\n]*)?(?:\n|$)|#[^\n]*(?:\n|$))/y;
const MARKS_START = /^\s*rosedeck\s/;

/** Takes the comments before a statement off it, one by one, so that their number costs no more. */
export function readLeadingComments(sql: string): LeadingComments {
  let marks: string | undefined;
  let end = 0;
  COMMENT.lastIndex = 0;
  for (;;) {
    const match = COMMENT.exec(sql);
    if (!match) break;
    end = COMMENT.lastIndex;
    const inside = match[1] ?? '';
    const found = marks === undefined ? MARKS_START.exec(inside) : null;
    if (found) marks = inside.slice(found[0].length);
  }
  return { marks, statement: sql.slice(end).trimStart() };
}
