import mysql from 'mysql2';

/** Encodings of text that are spoken with clients. */
export type TextEncoding = 'utf8' | 'latin1' | 'ascii';

const ENCODINGS: Readonly<Record<string, TextEncoding>> = {
  utf8: 'utf8',
  utf8mb3: 'utf8',
  utf8mb4: 'utf8',
  // What the library calls utf8mb3; it differs from UTF-8 only where utf8mb3 has no characters.
  cesu8: 'utf8',
  latin1: 'latin1',
  ascii: 'ascii',
};

/** Encoding of a MySQL character set; undefined for one that is not supported. */
export function encodingOfCharset(charset: string): TextEncoding | undefined {
  const name = charset.toLowerCase();
  return Object.hasOwn(ENCODINGS, name) ? ENCODINGS[name] : undefined;
}

/** Encoding of a character set given by the number of one of its collations. */
export function encodingOfCollation(collation: number): TextEncoding | undefined {
  const encodings = mysql.CharsetToEncoding as unknown as readonly (string | undefined)[];
  return encodingOfCharset(encodings[collation] ?? '');
}
