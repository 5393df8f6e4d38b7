import type { Settings } from "@auburnarch/config/Settings";

/** Address at which other processes reach this one while it listens on `port`. */
export function addressOf({ publicAddress, tls, listenHost }: Settings, port: number): string {
    return publicAddress ?? `${tls === undefined ? "http" : "https"}://${listenHost}:${port}`;
}
