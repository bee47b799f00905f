/** Logger that records its messages for a test. */
import * as Logger from "@cairngate/logger";

/** Records all messages except debug messages, in order. */
export class RecordingLog extends Logger.Logger {
  readonly messages: string[];

  constructor(messages: string[] = []) {
    super();
    this.messages = messages;
  }

  override error(message: string): void {
    this.messages.push(message);
  }

  override warn(message: string): void {
    this.messages.push(message);
  }

  override info(message: string): void {
    this.messages.push(message);
  }

  override debug(): void {}

  override child(): Logger.Logger {
    return this;
  }
}
