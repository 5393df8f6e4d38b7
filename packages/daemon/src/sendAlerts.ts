import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Agent } from "node:http";
import { v7 as newKey } from "uuid";
import { callEntry } from "./callEntry.js";

const alertIntervalMs = 250;
const timeoutMs = 5_000;
const path = "/v1/services/tiles/alerts";
/** Result codes from 2000 to 2999 mean that the request did not run. */
const notRunFamily = 2;

interface AlertOptions {
    clock: Clock;
    agent: Agent;
    /** Addresses of entries; calls are distributed round-robin, because any entry can answer. */
    addresses: string[];
    token: string;
    /** Called with the key of each alert that was answered. */
    onSent: (key: string) => void;
    printLine: (line: string) => void;
    signal: AbortSignal;
}

/** Sends alerts, each of which must run at most once, until `signal` is aborted. */
export async function sendAlerts(options: AlertOptions): Promise<void> {
    const { clock, agent, addresses, token, printLine, signal } = options;
    let calls = 0;

    /**
     * Sends one alert until its outcome is known. Retries use the same idempotency key, so that it runs at most once.
     */
    async function sendOne(key: string): Promise<void> {
        const headers = { "idempotency-key": key };
        while (!signal.aborted) {
            const address = addresses[calls++ % addresses.length]!;
            try {
                await callEntry({
                    agent,
                    address,
                    method: "POST",
                    path,
                    token,
                    headers,
                    body: { key },
                    timeoutMs,
                });
                options.onSent(key);
                return;
            }
            catch (error) {
                if (Math.floor(codeOf(error).number / 1_000) !== notRunFamily) {
                    printLine(`alert without an answer: ${String(error)}`);
                    return;
                }
            }
            await clock.sleep(alertIntervalMs, signal);
        }
    }

    while (!signal.aborted) {
        await sendOne(newKey());
        await clock.sleep(alertIntervalMs, signal);
    }
}
