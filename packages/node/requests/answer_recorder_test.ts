import { type EventSubject, ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { AnswerRecorder } from "./answer_recorder.ts";
import {
  MAXIMUM_PENDING_RECORDS,
  MAXIMUM_RECORD_WRITES,
  RECORD_RETRY_DELAY_MS,
} from "./constants.ts";

const SUBJECT = { requestId: "request" };

function createRecorder() {
  const clock = ManualClock.create();
  const events: { event: string; subject?: EventSubject; detail?: string }[] =
    [];
  const recorder = AnswerRecorder.create(clock, {
    emit: (event, subject, detail) => events.push({ event, subject, detail }),
  });
  return { clock, events, recorder };
}

describe("AnswerRecorder", () => {
  it("writes a record after failures, and emits nothing", async () => {
    const { clock, events, recorder } = createRecorder();
    let tries = 0;
    recorder.add(SUBJECT, () => Promise.resolve(++tries === 3));
    await clock.advance(3 * RECORD_RETRY_DELAY_MS);
    expect(recorder.pendingCount).to.equal(0);
    expect(tries).to.equal(3);
    expect(events).to.deep.equal([]);
  });

  it("names the request whose record is dropped after too many tries", async () => {
    const { clock, events, recorder } = createRecorder();
    recorder.add(SUBJECT, () => Promise.resolve(false));
    await clock.advance((MAXIMUM_RECORD_WRITES + 1) * RECORD_RETRY_DELAY_MS);
    expect(recorder.pendingCount).to.equal(0);
    expect(events).to.deep.equal([{
      event: "answer.record_dropped",
      subject: SUBJECT,
      detail: `not written in ${MAXIMUM_RECORD_WRITES} tries`,
    }]);
  });

  it("names the request whose record is dropped because too many are pending", () => {
    const { events, recorder } = createRecorder();
    for (let count = 0; count < MAXIMUM_PENDING_RECORDS; count++) {
      recorder.add(SUBJECT, () => new Promise(() => {}));
    }
    expect(events).to.deep.equal([]);
    const isAdded = recorder.add(SUBJECT, () => Promise.resolve(true));
    expect(isAdded).to.equal(false);
    expect(events).to.have.length(1);
  });
});
