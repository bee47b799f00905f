/** Which of two lives is the later one. */
import * as vitest from "vitest";
import * as currentIncarnations from "./present_life.ts";

const { AnswerOrigin } = currentIncarnations;

vitest.describe("the life that answers", () => {
  vitest.it("is the first one that is heard, also one without a birth", () => {
    for (const bornMs of [null, 5000]) {
      const life = new currentIncarnations.CurrentIncarnation();
      vitest.expect(life.noteAnswer(bornMs, life.noteSent())).toBe(
        AnswerOrigin.Current,
      );
      vitest.expect(life.noteAnswer(bornMs, life.noteSent())).toBe(
        AnswerOrigin.Current,
      );
      vitest.expect(life.bornMs).toBe(bornMs);
    }
  });

  vitest.it("is a later one where it answers a later order", () => {
    const life = new currentIncarnations.CurrentIncarnation();
    life.noteAnswer(5000, life.noteSent());
    vitest.expect(life.noteAnswer(9000, life.noteSent())).toBe(
      AnswerOrigin.Newer,
    );
    vitest.expect(life.bornMs).toBe(9000);
  });

  vitest.it("is a later one though its time of day was set back", () => {
    const life = new currentIncarnations.CurrentIncarnation();
    life.noteAnswer(5000, life.noteSent());
    vitest.expect(life.noteAnswer(3000, life.noteSent())).toBe(
      AnswerOrigin.Newer,
    );
    vitest.expect(life.noteAnswer(3000, life.noteSent())).toBe(
      AnswerOrigin.Current,
    );
  });

  vitest.it("is not shown by an answer that was overtaken", () => {
    const life = new currentIncarnations.CurrentIncarnation();
    life.noteAnswer(5000, life.noteSent());
    const slow = life.noteSent();
    const quick = life.noteSent();
    vitest.expect(life.noteAnswer(9000, quick)).toBe(AnswerOrigin.Newer);
    vitest.expect(life.noteAnswer(5000, slow)).toBe(AnswerOrigin.Unclear);
    vitest.expect(life.bornMs).toBe(9000);
  });

  vitest.it("is another one where it tells no birth any more", () => {
    const life = new currentIncarnations.CurrentIncarnation();
    life.noteAnswer(5000, life.noteSent());
    vitest.expect(life.noteAnswer(null, life.noteSent())).toBe(
      AnswerOrigin.Newer,
    );
  });
});
