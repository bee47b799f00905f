/** Determines which of two incarnations is the newer one. */
import * as vitest from "vitest";
import * as currentIncarnations from "./current_incarnation.ts";

const { AnswerOrigin } = currentIncarnations;

vitest.describe("the incarnation that answers", () => {
  vitest.it("is the first one to answer, even without a birth time", () => {
    for (const bornMs of [null, 5000]) {
      const incarnation = new currentIncarnations.CurrentIncarnation();
      vitest.expect(incarnation.noteAnswer(bornMs, incarnation.noteSent()))
        .toBe(
          AnswerOrigin.Current,
        );
      vitest.expect(incarnation.noteAnswer(bornMs, incarnation.noteSent()))
        .toBe(
          AnswerOrigin.Current,
        );
      vitest.expect(incarnation.bornMs).toBe(bornMs);
    }
  });

  vitest.it("is a newer one if it answers a later order", () => {
    const incarnation = new currentIncarnations.CurrentIncarnation();
    incarnation.noteAnswer(5000, incarnation.noteSent());
    vitest.expect(incarnation.noteAnswer(9000, incarnation.noteSent())).toBe(
      AnswerOrigin.Newer,
    );
    vitest.expect(incarnation.bornMs).toBe(9000);
  });

  vitest.it("is a newer one although its clock was set back", () => {
    const incarnation = new currentIncarnations.CurrentIncarnation();
    incarnation.noteAnswer(5000, incarnation.noteSent());
    vitest.expect(incarnation.noteAnswer(3000, incarnation.noteSent())).toBe(
      AnswerOrigin.Newer,
    );
    vitest.expect(incarnation.noteAnswer(3000, incarnation.noteSent())).toBe(
      AnswerOrigin.Current,
    );
  });

  vitest.it("is not determined by an answer that was overtaken", () => {
    const incarnation = new currentIncarnations.CurrentIncarnation();
    incarnation.noteAnswer(5000, incarnation.noteSent());
    const slow = incarnation.noteSent();
    const quick = incarnation.noteSent();
    vitest.expect(incarnation.noteAnswer(9000, quick)).toBe(AnswerOrigin.Newer);
    vitest.expect(incarnation.noteAnswer(5000, slow)).toBe(
      AnswerOrigin.Unclear,
    );
    vitest.expect(incarnation.bornMs).toBe(9000);
  });

  vitest.it("is another one if it stops reporting a birth time", () => {
    const incarnation = new currentIncarnations.CurrentIncarnation();
    incarnation.noteAnswer(5000, incarnation.noteSent());
    vitest.expect(incarnation.noteAnswer(null, incarnation.noteSent())).toBe(
      AnswerOrigin.Newer,
    );
  });
});
