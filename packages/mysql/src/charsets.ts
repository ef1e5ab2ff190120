import mysql from 'mysql2';

/** Text encodings that are supported on client connections. */
export type TextEncoding = 'utf8' | 'latin1' | 'ascii';

const ENCODINGS: Readonly<Record<string, TextEncoding>> = {
  utf8: 'utf8',
  utf8mb3: 'utf8',
  utf8mb4: 'utf8',
  // mysql2 uses this name for utf8mb3. It differs from UTF-8 only where utf8mb3 has no characters.
  cesu8: 'utf8',
  latin1: 'latin1',
  ascii: 'ascii',
};

/** Encoding of a MySQL character set, by name in any case; undefined if it is not supported. */
export function encodingOfCharset(charset: string): TextEncoding | undefined {
  const name = charset.toLowerCase();
  return Object.hasOwn(ENCODINGS, name) ? ENCODINGS[name] : undefined;
}

/** Encoding of the character set of a collation id; undefined if it is not supported. */
export function encodingOfCollation(collation: number): TextEncoding | undefined {
  const encodings = mysql.CharsetToEncoding as unknown as readonly (string | undefined)[];
  return encodingOfCharset(encodings[collation] ?? '');
}
