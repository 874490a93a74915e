import { lookup, type LookupAddress } from "node:dns";
import type { LookupFunction } from "node:net";
import ipaddr from "ipaddr.js";

type Network = [ipaddr.IPv4 | ipaddr.IPv6, number];

/** `10.0.0.0/8`, or one address. Throws a plain sentence. */
export function parseNetwork(text: string): Network {
  try {
    if (text.includes("/")) return ipaddr.parseCIDR(text);
    const one = ipaddr.parse(text);
    return [one, one.kind() === "ipv4" ? 32 : 128];
  } catch {
    throw new Error(
      `${text}: not a network such as 10.1.0.0/16 or 2001:db8::/32`,
    );
  }
}

/**
 * Where hooks may connect. Public unicast addresses are allowed unless only listed ones are; loopback, link-local, private, and
 * whatever else is special (also where an IPv4 address is hidden in an IPv6 one) only if listed.
 */
export class AllowedNetworks {
  private readonly listed: Network[];

  constructor(
    listed: readonly string[],
    private readonly onlyListed: boolean,
  ) {
    this.listed = listed.map(parseNetwork);
  }

  allows(address: string): boolean {
    if (!ipaddr.isValid(address)) return false;
    // An IPv6-mapped address is the IPv4 address that is connected to.
    const a = ipaddr.process(address);
    for (const [net, bits] of this.listed)
      if (net.kind() === a.kind() && a.match(net, bits)) return true;
    return !this.onlyListed && a.range() === "unicast";
  }

  /**
   * Resolves names for a connection: the address that is connected to is the very one that was checked, so a name that
   * resolves differently a second time gains nothing. `resolve`: the system's resolver.
   */
  lookup(
    resolve: (
      host: string,
      done: (e: Error | null, found: LookupAddress[]) => void,
    ) => void = (host, done) => lookup(host, { all: true }, done),
  ): LookupFunction {
    return (host, options, callback) =>
      resolve(host, (e, found) => {
        if (e) return callback(e, "", 0);
        const good = found.filter(
          (f) =>
            this.allows(f.address) &&
            (!options.family || options.family === f.family),
        );
        if (good.length === 0)
          return callback(
            new BlockedAddressError(
              `${host} resolves to ${found.map((f) => f.address).join(", ") || "nothing"}`,
            ),
            "",
            0,
          );
        if (options.all)
          (callback as unknown as (e: null, all: LookupAddress[]) => void)(
            null,
            good,
          );
        else callback(null, good[0]!.address, good[0]!.family);
      });
  }
}

/** Not a network that hooks may connect to. */
export class BlockedAddressError extends Error {
  readonly code = "BLOCKED";
}
