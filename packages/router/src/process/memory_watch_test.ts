import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fields } from "./log_line.ts";
import { memoryUse, MemoryWatch } from "./memory_watch.ts";

const MB = 1024 * 1024;

/** A watch on a host of 350 MB whose heap is bounded by 120 MB. */
function watchOf() {
  const lines: (Fields & { readonly name: string })[] = [];
  const state = {
    residentMb: 100 as number | undefined,
    heapMb: 50,
    lacksDescriptors: false,
    now: 0,
  };
  let lacking = 0;
  const watch = new MemoryWatch({
    log: {
      event: (name, fields) => void lines.push({ ...fields, name }),
      decision: () => {},
    },
    memoryMb: 350,
    onDescriptorsLacking: () => lacking += 1,
    use: () => ({
      residentBytes: state.residentMb && state.residentMb * MB,
      lacksDescriptors: state.lacksDescriptors,
      heapBytes: state.heapMb * MB,
      heapLimitBytes: 120 * MB,
    }),
    now: () => state.now,
  });
  return { watch, state, lines, lacking: () => lacking };
}

// Guards against a process that ends for its memory without a line that tells so.
test("memory near the limit of the host or the heap is logged", () => {
  for (const high of [{ residentMb: 300 }, { heapMb: 100 }]) {
    const { watch, state, lines } = watchOf();
    watch.check();
    assert.deepEqual(lines, []);
    Object.assign(state, high);
    watch.check();
    assert.deepEqual(lines, [{
      name: "memory_high",
      rss_mb: state.residentMb,
      host_mb: 350,
      heap_mb: state.heapMb,
      heap_limit_mb: 120,
    }]);
  }
});

test("memory that stays high is logged every 10 seconds", () => {
  const { watch, state, lines } = watchOf();
  state.heapMb = 110;
  for (state.now = 0; state.now < 25_000; state.now += 1_000) watch.check();
  assert.equal(lines.length, 3);
});

test("the memory of this process is read", () => {
  const { residentBytes, heapBytes, heapLimitBytes } = memoryUse();
  assert.ok(residentBytes! > heapBytes);
  assert.ok(heapLimitBytes > heapBytes);
});

// Guards against a process that ends because it has no descriptor left to read its
// memory.
test("the heap is watched while the resident memory cannot be read", () => {
  const failed = () => {
    throw Object.assign(new Error("too many open files"), { code: "EMFILE" });
  };
  const { residentBytes, heapBytes, lacksDescriptors } = memoryUse(failed);
  assert.ok(lacksDescriptors);
  assert.equal(residentBytes, undefined);
  assert.ok(heapBytes > 0);
  const { watch, state, lines, lacking } = watchOf();
  watch.check();
  assert.equal(lacking(), 0);
  Object.assign(state, { residentMb: undefined, heapMb: 110 });
  state.lacksDescriptors = true;
  watch.check();
  assert.equal(lines.length, 1);
  assert.equal(lacking(), 1);
});
