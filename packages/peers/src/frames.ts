/** Frames on a link between boxes, encoded with msgpackr. */
import * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import * as MsgPack from "msgpackr";

/** Kinds of frames. */
export enum FrameKind {
  Request = 1,
  Reply = 2,
  Failure = 3,
}

/** A request of the box that opened the link. */
export interface RequestFrame {
  readonly kind: FrameKind.Request;
  readonly id: number;
  readonly from: string;
  readonly req: Types.PeerRequest;
}

/** The reply to a request. */
export interface ReplyFrame {
  readonly kind: FrameKind.Reply;
  readonly id: number;
  readonly value: unknown;
}

/** The typed failure of a request. */
export interface FailureFrame {
  readonly kind: FrameKind.Failure;
  readonly id: number;
  readonly tag: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Any frame. */
export type Frame = RequestFrame | ReplyFrame | FailureFrame;

/** Encodes a frame. */
export function encodeFrame(frame: Frame): Uint8Array {
  return MsgPack.pack(frame);
}

/** Decodes a frame; fails on anything else. */
export function decodeFrame(
  bytes: Uint8Array,
  from: string,
): Frame | Errors.MalformedMessageError {
  try {
    const value = MsgPack.unpack(bytes) as Partial<Frame> | null;
    if (isFrame(value)) return value;
  } catch (err) {
    return new Errors.MalformedMessageError({ from, cause: String(err) });
  }
  return new Errors.MalformedMessageError({ from, cause: "not a frame" });
}

function isFrame(value: Partial<Frame> | null): value is Frame {
  if (typeof value !== "object" || value === null) return false;
  if (typeof value.id !== "number") return false;
  if (value.kind !== FrameKind.Request) {
    return value.kind === FrameKind.Reply || value.kind === FrameKind.Failure;
  }
  return typeof value.from === "string" && typeof value.req === "object" &&
    value.req !== null;
}
