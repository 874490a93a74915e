import net from "node:net";

/** Below the range of ephemeral ports, which the system assigns to outgoing connections and to servers that listen on port 0. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/**
 * Returns a free port of the loopback interface that stays free while a controller is killed and restarted. An ephemeral port
 * was taken by an outgoing connection in the meantime.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const port =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const server = net.createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}
