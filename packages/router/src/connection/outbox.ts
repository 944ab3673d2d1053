/**
 * What neighbours are still to be told.
 *
 * @module
 */
import type { ContactNews } from "../process/contact_book.ts";
import type { PartsNews } from "../process/prefix_record.ts";

/**
 * Prompts told at once; of more the oldest are left out. An engine may then read
 * a prompt that another one holds, once.
 */
const MAX_PARTS = 2_000;

interface Told {
  /** Name of the neighbour that told it; none for what comes from here. */
  readonly from: string | undefined;
}

/** What goes out with the next messages. */
export interface Post {
  /** Ids of runners whose loads have changed. */
  readonly runners: readonly string[];
  readonly parts: readonly (PartsNews & Told)[];
  readonly contacts: ContactNews;
}

/** Collects what has changed until it is sent to one group of neighbours. */
export class Outbox {
  readonly #urgent = new Set<string>();
  readonly #calm = new Set<string>();
  #parts: (PartsNews & Told)[] = [];
  #contacts: ContactNews[] = [];

  /** Notes changed loads; urgent ones, where requests wait, go first. */
  addRunners(runners: Iterable<string>, urgent: boolean): void {
    for (const runner of runners) {
      if (urgent) {
        this.#urgent.add(runner);
        this.#calm.delete(runner);
      } else if (!this.#urgent.has(runner)) {
        this.#calm.add(runner);
      }
    }
  }

  addParts(parts: readonly PartsNews[], from?: string): void {
    for (const news of parts) this.#parts.push({ ...news, from });
    if (this.#parts.length > MAX_PARTS) {
      this.#parts = this.#parts.slice(-MAX_PARTS);
    }
  }

  addContacts(news: ContactNews): void {
    this.#contacts.push(news);
  }

  get empty(): boolean {
    return this.#urgent.size === 0 && this.#calm.size === 0 &&
      this.#parts.length === 0 && this.#contacts.length === 0;
  }

  /** Whether others should know soon. */
  get urgent(): boolean {
    return this.#urgent.size > 0;
  }

  /**
   * Takes what is to be sent now. Loads beyond `mostRunners` stay for the next
   * time, those first that have waited longest.
   */
  take(mostRunners: number): Post {
    const urgent = takeFrom(this.#urgent, mostRunners);
    const calm = takeFrom(this.#calm, mostRunners - urgent.length);
    const post = {
      runners: [...urgent, ...calm],
      parts: this.#parts,
      contacts: {
        contacts: this.#contacts.flatMap(({ contacts }) => contacts),
        gone: this.#contacts.flatMap(({ gone }) => gone),
      },
    };
    this.#parts = [];
    this.#contacts = [];
    return post;
  }
}

/** Takes the first of a set out of it. */
function takeFrom(set: Set<string>, most: number): readonly string[] {
  const taken = [];
  for (const each of set) {
    if (taken.length >= most) break;
    taken.push(each);
    set.delete(each);
  }
  return taken;
}
