/**
 * Passes datagrams on to one address, for the fault proxy.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";

/** What the relay asks of the proxy for each datagram. */
export interface DatagramFaults {
  /** Whether datagrams are lost now. */
  cut(): boolean;
  /** Milliseconds that a datagram is late now. */
  delayMs(): number;
}

/** An IP address and a port. */
export interface Place {
  readonly address: string;
  readonly port: number;
}

/**
 * Relays datagrams in one direction. Daemons answer a probe at the address that
 * they know the sender by, not at the one the datagram came from.
 */
export class DatagramRelay {
  readonly #socket: Socket;

  /** @internal Use `DatagramRelay.open`. */
  constructor(
    socket: Socket,
    options: { readonly target: Place; readonly faults: DatagramFaults },
  ) {
    this.#socket = socket;
    const { target, faults } = options;
    const pass = (datagram: Buffer) => {
      socket.send(datagram, target.port, target.address, () => {});
    };
    socket.on("error", () => {});
    socket.on("message", (datagram) => {
      if (faults.cut()) return;
      const delayMs = faults.delayMs();
      if (delayMs === 0) pass(datagram);
      else setTimeout(pass, delayMs, datagram).unref();
    });
  }

  /** Listens at a place. */
  static async open(
    place: Place,
    options: { readonly target: Place; readonly faults: DatagramFaults },
  ): Promise<DatagramRelay> {
    const socket = createSocket("udp4");
    await new Promise<void>((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(place.port, place.address, resolve);
    });
    return new DatagramRelay(socket, options);
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.#socket.close(() => resolve()));
  }
}
