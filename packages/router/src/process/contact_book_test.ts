import assert from "node:assert/strict";
import { test } from "node:test";
import type { Contact } from "./contact.ts";
import { ContactBook } from "./contact_book.ts";

function contact(name: string, fields: Partial<Contact> = {}): Contact {
  return {
    name,
    incarnation: "1",
    address: `10.0.0.1:${name.length}`,
    failureDomain: name[0]!,
    linkMbps: 10,
    ...fields,
  };
}

function namesIn(book: ContactBook): readonly string[] {
  return book.all().map(({ name }) => name).sort();
}

// Relays are chosen from the books, so that books must agree whatever the order in
// which contacts arrive.
test("a full book keeps the first of each failure domain, in any order", () => {
  const fleet = ["a", "b"].flatMap((domain) =>
    Array.from(
      { length: 9 },
      (_, index) => contact(`${domain}-${index}`, { linkMbps: index }),
    )
  );
  const one = new ContactBook(contact("a-own"), 6);
  const other = new ContactBook(contact("b-own"), 6);
  for (const member of fleet) one.add(member, 0);
  for (const member of [...fleet].reverse()) other.add(member, 0);
  const first = ["a-6", "a-7", "a-8", "b-6", "b-7", "b-8"];
  assert.deepEqual(namesIn(one), first);
  assert.deepEqual(namesIn(other), first);
});

// Guards against dialling a dead daemon again and again. Daemons that do not know
// of its death yet keep sending its contact; if it were added each time, all
// daemons would dial it as long as any of them sends it.
test("a dead daemon is not added again because others send its contact", () => {
  const book = new ContactBook(contact("own"), 6);
  book.add(contact("a"), 0);
  assert.equal(book.remove(contact("a"), 0), true);
  assert.equal(book.add(contact("a"), 1_000), false);
  assert.equal(book.add(contact("a", { incarnation: "2" }), 1_000), true);
});

test("a daemon that responds is added, even if it was removed before", () => {
  const book = new ContactBook(contact("own"), 6);
  book.add(contact("a"), 0);
  book.remove(contact("a"), 0);
  assert.equal(book.addReachable(contact("a")), true);
  assert.deepEqual(namesIn(book), ["a"]);
});

test("contacts that do not change the book cause no updates", () => {
  const book = new ContactBook(contact("own"), 6);
  book.add(contact("a"), 0);
  assert.equal(book.takeUpdates().contacts.length, 1);
  book.add(contact("a"), 1);
  book.add(contact("own"), 1);
  assert.equal(book.hasUpdates, false);
  book.remove(contact("a"), 2);
  assert.deepEqual(book.takeUpdates().gone, [{ name: "a", incarnation: "1" }]);
});
