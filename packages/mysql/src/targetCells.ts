import type { TypeCastField, TypeCastNext } from 'mysql2';
import type { Cell } from '@rosedeck/core';

/** Reads a cell of the text protocol; each byte of a binary cell becomes one character. */
export function castTextCell(field: TypeCastField): Cell {
  return field.type === 'JSON' ? field.string('utf8') : field.string();
}

type FieldType = TypeCastField['type'];

/** Types that both protocols send as length-encoded strings. */
const LENGTH_ENCODED: ReadonlySet<FieldType> = new Set<FieldType>([
  'DECIMAL',
  'NEWDECIMAL',
  'VARCHAR',
  'VAR_STRING',
  'STRING',
  'ENUM',
  'SET',
  'JSON',
  'BIT',
  'VECTOR',
  'GEOMETRY',
  'TINY_BLOB',
  'MEDIUM_BLOB',
  'LONG_BLOB',
  'BLOB',
]);

/** Reads a cell of the binary protocol and converts it to its text protocol form. */
export function castBinaryCell(field: TypeCastField, next: TypeCastNext): Cell {
  if (LENGTH_ENCODED.has(field.type)) return castTextCell(field);
  const value = next() as string | number | null;
  if (value === null) return null;
  return field.type === 'FLOAT' ? formatFloat(Number(value)) : String(value);
}

const MIN_FLOAT_DIGITS = 6;
const MAX_FLOAT_DIGITS = 9;

/** Shortest text that reads back as the same single-precision number. */
export function formatFloat(value: number): string {
  for (let digits = MIN_FLOAT_DIGITS; digits < MAX_FLOAT_DIGITS; digits += 1) {
    const text = String(Number(value.toPrecision(digits)));
    if (Math.fround(Number(text)) === value) return text;
  }
  return String(value);
}
