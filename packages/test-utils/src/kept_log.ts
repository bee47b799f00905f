/** Logger that records its messages for a test. */
import * as Logger from "@cairngate/logger";

/** Records all messages except debug messages, in order. */
export class KeptLog extends Logger.Logger {
  readonly sentences: string[];

  constructor(sentences: string[] = []) {
    super();
    this.sentences = sentences;
  }

  override error(sentence: string): void {
    this.sentences.push(sentence);
  }

  override warn(sentence: string): void {
    this.sentences.push(sentence);
  }

  override info(sentence: string): void {
    this.sentences.push(sentence);
  }

  override debug(): void {}

  override child(): Logger.Logger {
    return this;
  }
}
