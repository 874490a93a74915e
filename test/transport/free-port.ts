import net from "node:net";

/** Below the ports that the system hands out to outgoing connections and to servers that ask for any. */
const FIRST = 12_000;
const LAST = 32_000;

/**
 * A port of loopback that is free, and stays so while a controller that was killed is away: one that the system hands out was
 * taken by some outgoing connection in between.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST + Math.floor(Math.random() * (LAST - FIRST));
    const s = net.createServer();
    const free = await new Promise<boolean>((r) => {
      s.once("error", () => r(false));
      s.listen(port, "127.0.0.1", () => r(true));
    });
    if (!free) continue;
    await new Promise((r) => s.close(r));
    return port;
  }
}
