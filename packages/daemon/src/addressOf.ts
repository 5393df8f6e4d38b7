import type { Settings } from "@auburnarch/config/Settings";

/** Where other processes reach this one, once it listens on `port`. */
export function addressOf({ publicAddress, tls, listenHost }: Settings, port: number): string {
    return publicAddress ?? `${tls === undefined ? "http" : "https"}://${listenHost}:${port}`;
}
