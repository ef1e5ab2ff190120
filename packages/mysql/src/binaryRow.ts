import type { Cell, Column } from '@rosedeck/core';
import { reserve, writeBase64, writeText } from './packetWriter';
import type { PacketWriter } from './packetWriter';
import { COLUMN_TYPE } from './packetTypes';
import type { Packet, TimeParts } from './packetTypes';

/** Unused bits at the start of the null bitmap. */
const BITMAP_OFFSET = 2;
/** Upper bound for the length of a value in `FIXED_WRITERS`. */
const MAX_FIXED_BYTES = 16;

type CellWriter = (packet: Packet, cell: string) => void;

/** Writes one row in the binary protocol; `mysql2` itself can write text rows only. */
export function writeBinaryRow(
  writer: PacketWriter,
  columns: readonly Column[],
  binaryColumns: readonly boolean[],
  row: readonly Cell[],
): void {
  const bitmap = buildNullBitmap(row);
  reserve(writer, 1 + bitmap.length);
  writer.packet.writeInt8(0);
  writer.packet.writeBuffer(bitmap);
  row.forEach((cell, index) => {
    const column = columns[index];
    if (cell === null || !column) return;
    const write = FIXED_WRITERS.get(column.type);
    if (write) {
      reserve(writer, MAX_FIXED_BYTES);
      write(writer.packet, cell);
    } else if (binaryColumns[index]) writeBase64(writer, cell);
    else writeText(writer, cell);
  });
}

function buildNullBitmap(row: readonly Cell[]): Buffer {
  const bitmap = Buffer.alloc((row.length + 7 + BITMAP_OFFSET) >> 3);
  row.forEach((cell, index) => {
    if (cell !== null) return;
    const bit = index + BITMAP_OFFSET;
    bitmap.writeUInt8(bitmap.readUInt8(bit >> 3) | (1 << (bit & 7)), bit >> 3);
  });
  return bitmap;
}

const writeShort: CellWriter = (packet, cell) => {
  packet.writeInt16(Number(cell) & 0xffff);
};

const writeLong: CellWriter = (packet, cell) => {
  packet.writeInt32(Number(cell) >>> 0);
};

function readNumbers(cell: string): number[] {
  return (cell.match(/\d+/g) ?? []).map(Number);
}

const writeDate: CellWriter = (packet, cell) => {
  packet.writeInt8(4);
  writeDateParts(packet, readNumbers(cell));
};

function writeDateParts(packet: Packet, [year = 0, month = 0, day = 0]: readonly number[]): void {
  packet.writeInt16(year);
  packet.writeInt8(month);
  packet.writeInt8(day);
}

const writeDateTime: CellWriter = (packet, cell) => {
  const numbers = readNumbers(cell);
  const [hour = 0, minute = 0, second = 0] = numbers.slice(3);
  const microseconds = readMicroseconds(cell);
  packet.writeInt8(microseconds > 0 ? 11 : 7);
  writeDateParts(packet, numbers);
  packet.writeInt8(hour);
  packet.writeInt8(minute);
  packet.writeInt8(second);
  if (microseconds > 0) packet.writeInt32(microseconds);
};

function readMicroseconds(cell: string): number {
  const fraction = cell.split('.')[1] ?? '';
  return fraction === '' ? 0 : Number(fraction.slice(0, 6).padEnd(6, '0'));
}

const writeTime: CellWriter = (packet, cell) => {
  const [hours = 0, minutes = 0, seconds = 0] = readNumbers(cell);
  const parts: TimeParts = {
    negative: cell.startsWith('-'),
    days: Math.floor(hours / 24),
    hours: hours % 24,
    minutes,
    seconds,
    microseconds: readMicroseconds(cell),
  };
  packet.writeTime(parts);
};

const FIXED_WRITERS: ReadonlyMap<number, CellWriter> = new Map<number, CellWriter>([
  [
    COLUMN_TYPE.tiny,
    (packet, cell) => {
      packet.writeInt8(Number(cell) & 0xff);
    },
  ],
  [COLUMN_TYPE.short, writeShort],
  [COLUMN_TYPE.year, writeShort],
  [COLUMN_TYPE.long, writeLong],
  [COLUMN_TYPE.int24, writeLong],
  [
    COLUMN_TYPE.longlong,
    (packet, cell) => {
      packet.writeUIntLE(BigInt.asUintN(64, BigInt(cell)), 8);
    },
  ],
  [
    COLUMN_TYPE.float,
    (packet, cell) => {
      packet.writeFloat(Number(cell));
    },
  ],
  [
    COLUMN_TYPE.double,
    (packet, cell) => {
      packet.writeDouble(Number(cell));
    },
  ],
  [COLUMN_TYPE.date, writeDate],
  [COLUMN_TYPE.datetime, writeDateTime],
  [COLUMN_TYPE.timestamp, writeDateTime],
  [COLUMN_TYPE.time, writeTime],
]);
