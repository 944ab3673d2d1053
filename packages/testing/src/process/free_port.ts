/**
 * Ports for processes that a test starts more than once.
 *
 * @module
 */
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import process from "node:process";

const LOOPBACK = "127.0.0.1";
/**
 * First of the ports that tests take, and how many: below those from which
 * systems give outgoing connections theirs, so that none of these takes a port
 * between the look and its use.
 */
const FIRST_PORT = 20_000;
const PORTS = 12_000;
/** Ports between the first ones of two processes with following ids. */
const PORTS_PER_PROCESS = 250;
const MAX_TRIES = 100;

/** Counts on from port to port, so that none is given twice before its use. */
let next = process.pid * PORTS_PER_PROCESS % PORTS;

/** A port that was free a moment ago, for TCP and UDP; another one each time. */
export async function freePort(): Promise<number> {
  for (let tried = 0; tried < MAX_TRIES; tried += 1) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORTS;
    if (await canListen(port) && await canReceive(port)) return port;
  }
  throw new Error(`Cannot find a free port in ${MAX_TRIES} tries`);
}

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

function canReceive(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket("udp4");
    socket.once("error", () => resolve(false));
    socket.bind(port, LOOPBACK, () => socket.close(() => resolve(true)));
  });
}
