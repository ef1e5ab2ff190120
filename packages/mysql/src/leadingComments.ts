/** A statement, separated from its leading comments. */
export interface LeadingComments {
  /** Text after the word `rosedeck` in the first comment that begins with it. */
  readonly marks?: string;
  /** The statement without its leading comments. */
  readonly statement: string;
}

/** One comment. An executable comment belongs to the statement and does not match. */
const COMMENT = /\s*(?:\/\*(?!!)([\s\S]*?)\*\/|--(?:[^\S\n][^\n]*)?(?:\n|$)|#[^\n]*(?:\n|$))/y;
const MARKS_START = /^\s*rosedeck\s/;

/** Reads the leading comments one by one, so that the run time stays linear in their number. */
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
