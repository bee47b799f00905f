/** Frames on a link between processes, encoded with msgpackr. */
import * as Errors from "@cairngate/errors";
import * as MsgPack from "msgpackr";
import * as nesting from "./nesting.ts";

/** Levels of lists and objects in a frame; a page of rows takes about ten. */
const MAX_LEVELS = 64;

/** Kinds of frames. */
export enum FrameKind {
  Request = 1,
  Reply = 2,
  Failure = 3,
  Notice = 4,
}

/** A request from the process that opened the link. */
export interface RequestFrame {
  readonly kind: FrameKind.Request;
  readonly id: number;
  readonly from: string;
  readonly req: object;
}

/** A message that has no reply. */
export interface NoticeFrame {
  readonly kind: FrameKind.Notice;
  readonly from: string;
  readonly req: object;
}

/** The reply to a request. */
export interface ReplyFrame {
  readonly kind: FrameKind.Reply;
  readonly id: number;
  readonly value: unknown;
}

/** Typed failure of a request: tag and fields of the error. */
export interface FailureFrame {
  readonly kind: FrameKind.Failure;
  readonly id: number;
  readonly tag: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Any frame. */
export type Frame = RequestFrame | ReplyFrame | FailureFrame | NoticeFrame;

/**
 * Whether a frame can be encoded. The packer fails halfway on one that is nested too
 * deeply, and the peer can't decode any later frame of the connection.
 */
export function canEncode(frame: Frame): boolean {
  return !nesting.isNestedDeeper(frame, MAX_LEVELS);
}

/**
 * Encodes and decodes the frames of one connection. Field names are sent once per
 * connection and kind of frame; later frames refer to them by a number.
 */
export class FrameCodec {
  readonly #encoder = new MsgPack.Packr({ sequential: true });
  readonly #decoder = new MsgPack.Packr({ sequential: true });

  /** Encodes a frame for which `canEncode` is true. */
  encode(frame: Frame): Uint8Array {
    // The packer reuses its buffer, and ws may still be sending it.
    return Uint8Array.from(this.#encoder.pack(frame));
  }

  /** Decodes a frame; returns an error for any other bytes. */
  decode(
    bytes: Uint8Array,
    from: string,
  ): Frame | Errors.MalformedMessageError {
    try {
      const value = this.#decoder.unpack(bytes) as Partial<Frame> | null;
      if (isFrame(value)) return value;
    } catch (err) {
      return new Errors.MalformedMessageError({ from, cause: String(err) });
    }
    return new Errors.MalformedMessageError({ from, cause: "not a frame" });
  }
}

function isFrame(value: Partial<Frame> | null): value is Frame {
  if (typeof value !== "object" || value === null) return false;
  switch (value.kind) {
    case FrameKind.Reply:
    case FrameKind.Failure:
      return typeof value.id === "number";
    case FrameKind.Request:
      return typeof value.id === "number" && hasRequest(value);
    case FrameKind.Notice:
      return hasRequest(value);
    default:
      return false;
  }
}

function hasRequest(value: { from?: unknown; req?: unknown }): boolean {
  return typeof value.from === "string" && typeof value.req === "object" &&
    value.req !== null;
}
