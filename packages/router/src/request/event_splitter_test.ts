import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

// A runner stops in the middle of an event. The caller must get complete events
// only, wherever the bytes are split on the way.
test("only complete events are returned, however the bytes are split", () => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata";
  const complete = text.slice(0, text.indexOf("id: 3"));
  fc.assert(fc.property(
    fc.array(fc.nat({ max: text.length }), { maxLength: 8 }),
    (cuts) => {
      const splitter = new EventSplitter();
      const ends = [...cuts, text.length].sort((one, other) => one - other);
      let start = 0;
      let out = "";
      let events = 0;
      for (const end of ends) {
        for (
          const event of splitter.push(Buffer.from(text.slice(start, end)))
        ) {
          out += event.toString();
          events += 1;
        }
        start = end;
      }
      assert.equal(out, complete);
      assert.equal(events, 2);
      assert.equal(splitter.pending, true);
    },
  ));
});
