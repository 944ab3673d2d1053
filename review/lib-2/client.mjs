/**
 * Clients that keep their connections, and note what becomes of each attempt.
 */
import http from "node:http";
import { attemptId, HOST, KEY, LOOPBACK, now, pause } from "./kit.mjs";

/**
 * Sends one request and reads its answer; never rejects.
 *
 * @returns { id, sentAt, endedAt, status, body, whole, error }
 */
export function send({ port, agent, method = "GET", path, deadlineMs, body, headers = {} }) {
  const id = attemptId();
  const sentAt = now();
  return new Promise((resolve) => {
    const result = { id, sentAt, status: undefined, size: 0, whole: false };
    const end = (error) => {
      clearTimeout(timer);
      resolve({ ...result, endedAt: now(), error });
    };
    const request = http.request({
      agent,
      host: LOOPBACK,
      port,
      method,
      path,
      headers: {
        Host: HOST,
        Authorization: `Bearer ${KEY}`,
        "Umbermast-Attempt-Id": id,
        "Umbermast-Deadline-Ms": deadlineMs,
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(new Error("deadline")), deadlineMs);
    request.on("error", (error) => end(error.message));
    request.on("response", (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on("data", (chunk) => result.size += chunk.length);
      response.on("error", (error) => end(error.message));
      response.on("end", () => {
        result.whole = response.complete;
        end();
      });
    });
    request.end(body);
  });
}

/**
 * Sends requests to one daemon at a steady rate until told to stop.
 *
 * @param options.make returns the options of the next request.
 */
export class Traffic {
  results = [];
  #stopped = false;
  #open = new Set();
  agent = new http.Agent({ keepAlive: true });

  constructor({ daemon, perS, make, record }) {
    Object.assign(this, { daemon, perS, make, record });
  }

  start() {
    this.loop = (async () => {
      while (!this.#stopped) {
        const options = this.make();
        const sent = send({
          port: this.daemon.ports.ingress,
          agent: this.agent,
          ...options,
        }).then((result) => {
          this.#write(options, result);
          this.#open.delete(sent);
          this.results.push({ ...result, daemon: this.daemon });
        });
        this.#open.add(sent);
        await pause(1000 / this.perS);
      }
    })();
    return this;
  }

  #write({ method = "GET", path }, { id, sentAt, endedAt, status, size, whole, error }) {
    this.record?.line(
      `${id} sent to ${this.daemon.name} at ${(sentAt / 1000).toFixed(3)}, ` +
        `${method} ${path}: ${status ?? "no answer"}, ${size} B` +
        `${whole ? "" : ", not whole"}${error ? `, ${error}` : ""}, ` +
        `after ${Math.round(endedAt - sentAt)} ms`,
    );
  }

  async stop() {
    this.#stopped = true;
    await this.loop;
    await Promise.all(this.#open);
    this.agent.destroy();
  }
}
