import { lookup, type LookupAddress } from "node:dns";
import type { LookupFunction } from "node:net";
import ipaddr from "ipaddr.js";

type Network = [ipaddr.IPv4 | ipaddr.IPv6, number];

/** Parses a network such as `10.0.0.0/8`, or a single address. The message of the error can be shown to operators. */
export function parseNetwork(text: string): Network {
  try {
    if (text.includes("/")) return ipaddr.parseCIDR(text);
    const address = ipaddr.parse(text);
    return [address, address.kind() === "ipv4" ? 32 : 128];
  } catch {
    throw new Error(
      `${text}: not a network such as 10.1.0.0/16 or 2001:db8::/32`,
    );
  }
}

/**
 * The addresses that webhooks may connect to. Listed networks are always allowed, other public unicast addresses unless
 * `onlyListed` is set. Loopback, link-local, private and other special addresses (also IPv4 addresses embedded in IPv6
 * addresses) are allowed only if they are listed.
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
    // A connection to an IPv4-mapped IPv6 address goes to the IPv4 address, so that one is checked.
    const parsed = ipaddr.process(address);
    for (const [network, prefixBits] of this.listed)
      if (network.kind() === parsed.kind() && parsed.match(network, prefixBits))
        return true;
    return !this.onlyListed && parsed.range() === "unicast";
  }

  /**
   * A lookup function for connections that returns only allowed addresses. The address that was checked is the one that is
   * connected to, so a name that resolves differently a second time (DNS rebinding) does not bypass the check.
   * `resolve` is the system's resolver by default.
   */
  lookup(
    resolve: (
      host: string,
      done: (e: Error | null, addresses: LookupAddress[]) => void,
    ) => void = (host, done) => lookup(host, { all: true }, done),
  ): LookupFunction {
    return (host, options, callback) =>
      resolve(host, (e, resolved) => {
        if (e) return callback(e, "", 0);
        const allowed = resolved.filter(
          (f) =>
            this.allows(f.address) &&
            (!options.family || options.family === f.family),
        );
        if (allowed.length === 0)
          return callback(
            new BlockedAddressError(
              `${host} resolves to ${resolved.map((f) => f.address).join(", ") || "nothing"}`,
            ),
            "",
            0,
          );
        if (options.all)
          (callback as unknown as (e: null, all: LookupAddress[]) => void)(
            null,
            allowed,
          );
        else callback(null, allowed[0]!.address, allowed[0]!.family);
      });
  }
}

/** A host name resolves to no address that webhooks may connect to. */
export class BlockedAddressError extends Error {
  readonly code = "BLOCKED";
}
