import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG, testEngine } from "../../tests/fixtures.ts";
import type { Fields } from "./log_line.ts";
import { NO_SUMS } from "./pace_sums.ts";
import type { Runner } from "./runner.ts";
import { RunnerPaces } from "./runner_paces.ts";
import { ASSUMED_PACE } from "./runner_pace.ts";
import { SchedulingMode } from "./scheduling_mode.ts";
import type { SchedulingSetting } from "./scheduling_mode.ts";

const SLOW = testEngine("slow");
const USUAL = testEngine("usual");

/** One daemon's paces, with the lines that it logs. */
class Observer {
  readonly events: { readonly name: string; readonly fields: Fields }[] = [];
  readonly mode: SchedulingMode;
  readonly paces: RunnerPaces;

  constructor(scheduling: SchedulingSetting = "adaptive") {
    const log = {
      event: (name: string, fields: Fields) =>
        void this.events.push({ name, fields }),
      decision() {},
    };
    this.mode = new SchedulingMode({ scheduling, pressure: false }, log);
    this.paces = new RunnerPaces(this.mode, log);
    this.paces.retain([SLOW, USUAL]);
  }

  observe(runner: Runner, factor: number, now: number): void {
    const ms = 100 * factor;
    this.paces.recordFirstEvent(runner, { ms, tokens: 3_000, now });
  }

  /** Sends the observations of runners to another daemon. */
  tell(other: Observer, now: number, name = "peer"): void {
    const updates = [SLOW, USUAL].flatMap(({ id }) =>
      this.paces.updateFor(id, () => true, now) ?? []
    );
    other.paces.applyUpdates(name, updates, now);
  }

  /** Time of the slow runner's work relative to the other's. */
  ratio(now: number): number {
    const pace = this.paces.of("llm");
    return pace.prefillMs(SLOW.id, 1_000, now) /
      pace.prefillMs(USUAL.id, 1_000, now);
  }

  /** Number of log lines of a name. */
  count(name: string): number {
    return this.events.filter((event) => event.name === name).length;
  }
}

test("a daemon that saw nothing of a runner knows its pace from others", () => {
  const seeing = new Observer();
  const other = new Observer();
  for (let now = 0; now < 4_000; now += 200) {
    seeing.observe(SLOW, 4, now);
    seeing.observe(USUAL, 1, now);
    seeing.tell(other, now);
  }
  assert.ok(other.ratio(4_000) > 3, `${other.ratio(4_000)}`);
  assert.ok(other.count("runner_pace") > 0);
});

// Guards against observations of an hour that count as if they were made now,
// and against ones that count twice after the path between daemons changes.
test("a neighbour's first report is a baseline, also after its link was lost", () => {
  const seeing = new Observer();
  const other = new Observer();
  for (let now = 0; now < 4_000; now += 200) seeing.observe(SLOW, 5, now);
  for (const link of ["first", "second"]) {
    seeing.tell(other, 4_000, link);
    other.paces.removeNeighbour(link);
  }
  assert.equal(other.ratio(4_000), 1);
  assert.deepEqual(
    other.paces.updateFor(SLOW.id, () => true, 4_000)?.sums,
    NO_SUMS,
  );
});

test("nothing is observed or sent where scheduling is not adaptive", () => {
  const basic = new Observer("auto");
  basic.observe(SLOW, 5, 0);
  assert.equal(basic.ratio(0), 1);
  assert.equal(basic.paces.takeChanged().size, 0);
  basic.paces.recordStated(SLOW, 250, 1);
  assert.equal(basic.mode.isAdaptive("llm"), true);
  assert.deepEqual([...basic.paces.takeChanged()], [[SLOW.id, true]]);
});

// Guards against a runner, or a faulty daemon, whose values are no number, not
// positive or absurd: they must not count, nor fill the log.
test("nonsense is left out with few log lines and nothing else is lost", () => {
  const observer = new Observer("auto");
  for (const figure of [NaN, 0, -100, 1, 900_000, Infinity]) {
    for (let now = 0; now < 100; now += 1) {
      observer.paces.recordStated(SLOW, figure, now);
    }
  }
  assert.equal(observer.mode.isAdaptive("llm"), false);
  const peers = new Observer();
  const report = (ms: number, promptTokens: number) => {
    const stated = { hundredths: NaN, at: NaN };
    const sums = (promptMs: number) => ({ ...NO_SUMS, promptMs, promptTokens });
    peers.paces.applyUpdates("peer", [
      { runner: SLOW.id, sums: sums(ms), stated },
      { runner: USUAL.id, sums: sums(promptTokens / 10), stated: undefined },
    ], 100);
  };
  report(0, 0);
  report(NaN, 100_000);
  report(9e9, 200_000);
  report(-5, 300_000);
  const pace = peers.paces.of("llm");
  const usual = pace.prefillMs(USUAL.id, 1_000, 100);
  assert.ok(usual > 60, "the other runner's sums count: 20 are assumed");
  report(0, 0);
  const before = pace.prefillMs(SLOW.id, 1_000, 100);
  report(NaN, NaN);
  report(80_000, 100_000);
  const after = pace.prefillMs(SLOW.id, 1_000, 100);
  assert.ok(after > 5 * before, "the sums after a faulty report count");
  for (const daemon of [observer, peers]) {
    const lines = daemon.count("pace_left_out");
    assert.ok(lines > 0 && lines <= 10, `${lines} lines`);
  }
});

// Guards against a daemon without processor time that takes its own delay for
// that of engines, and then holds requests back from all of them.
test("what a delayed daemon observes is left out until the delay has passed", () => {
  const observer = new Observer();
  for (let now = 0; now < 4_000; now += 200) {
    observer.paces.recordDelay(70, now);
    observer.observe(SLOW, 4, now);
    observer.observe(USUAL, 1, now);
  }
  assert.equal(observer.ratio(4_000), 1);
  for (let now = 4_600; now < 8_600; now += 200) {
    observer.paces.recordDelay(2, now);
    observer.observe(SLOW, 4, now);
    observer.observe(USUAL, 1, now);
  }
  assert.ok(observer.ratio(8_600) > 2);
});

test("under pressure the responses of plain runners are observed, engines are not", () => {
  const mode = new SchedulingMode(
    { scheduling: "auto", pressure: true },
    SILENT_LOG,
  );
  const paces = new RunnerPaces(mode, SILENT_LOG);
  const plain = { ...USUAL, id: "p~1", service: "app" };
  paces.retain([SLOW, plain]);
  for (let now = 0; now < 1_000; now += 100) {
    paces.recordResponse(plain, { ms: 120, ahead: 0, slots: 4, now });
    paces.recordFirstEvent(SLOW, { ms: 900, tokens: 3_000, now });
  }
  const responseMs = paces.of("app").responseMs(plain.id, 1_000)!;
  assert.ok(responseMs > 100 && responseMs < 140, `${responseMs}`);
  assert.equal(paces.of("llm"), ASSUMED_PACE);
});
