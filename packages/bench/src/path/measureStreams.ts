import type { Clock } from "@auburnarch/types/Clock";
import { Agent } from "node:http";
import { callOnce } from "./callOnce.js";
import { countFailure } from "./countFailure.js";
import type { Failures } from "./Failures.js";

interface StreamOptions {
    clock: Clock;
    token: string;
    /** Targets of the streams, used in rotation. */
    urls: URL[];
    streams: number;
    tokensPerStream: number;
}

const tokensPattern = /"completion_tokens":(\d+)/g;
/** A count may be split over two chunks, so this much of the previous one is scanned again. */
const overlapChars = 40;

/**
 * Measures the tokens per second of concurrent streams, from the first byte of any stream to the end of the last one.
 */
export async function measureStreams(
    options: StreamOptions,
): Promise<{ perSecond: number; failures: Failures; }> {
    const { clock, urls, token } = options;
    const agent = new Agent({ keepAlive: true });
    let tokens = 0;
    const failures: Failures = {};
    let firstMs: number | undefined;

    async function readStream(index: number): Promise<void> {
        let rest = "";
        const body = JSON.stringify({
            model: "bench",
            prompt: `stream ${index}`,
            max_tokens: options.tokensPerStream,
            stream: true,
            user: `stream-${index}`,
        });
        const onChunk = (chunk: Buffer): void => {
            firstMs ??= clock.monotonicMs();
            const text = rest + chunk.toString("latin1");
            let endAt = 0;
            for (const match of text.matchAll(tokensPattern)) {
                // A number at the end of the chunk may continue in the next one.
                if (match.index + match[0].length < text.length) {
                    tokens += Number(match[1]);
                    endAt = match.index + match[0].length;
                }
            }
            rest = text.slice(Math.max(endAt, text.length - overlapChars));
        };
        try {
            await callOnce({ agent, url: urls[index % urls.length]!, method: "POST", token, body, onChunk });
        }
        catch (error) {
            countFailure(failures, error);
        }
    }

    await Promise.all(Array.from({ length: options.streams }, (_, index) => readStream(index)));
    const elapsedMs = clock.monotonicMs() - (firstMs ?? 0);
    agent.destroy();
    return { perSecond: tokens * 1_000 / elapsedMs, failures };
}
