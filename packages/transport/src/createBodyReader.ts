import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

interface HeldBody {
    chunks: Uint8Array[];
    bytes: number;
    isGivenUp: boolean;
}

/** Reads a body to its end. Rejects with code `answerTooLong` if it is given up, or with the error of the body. */
type ReadBody = (body: AsyncIterable<Uint8Array>) => Promise<Buffer>;

/**
 * Creates a reader that holds at most `maxBytes` of all bodies that it is reading. Beyond, it gives up the largest one, so
 * that bodies without end take no memory from the others.
 */
export function createBodyReader(maxBytes: number): ReadBody {
    const held = new Set<HeldBody>();
    let heldBytes = 0;

    function release(body: HeldBody): void {
        heldBytes -= body.bytes;
        body.bytes = 0;
        body.chunks = [];
        held.delete(body);
    }

    function giveUpLargest(): void {
        let largest: HeldBody | undefined;
        for (const body of held) {
            if (body.bytes > (largest?.bytes ?? 0)) {
                largest = body;
            }
        }
        if (largest !== undefined) {
            largest.isGivenUp = true;
            release(largest);
        }
    }

    return async body => {
        const reading: HeldBody = { chunks: [], bytes: 0, isGivenUp: false };
        held.add(reading);
        try {
            for await (const chunk of body) {
                if (!reading.isGivenUp) {
                    reading.chunks.push(chunk);
                    reading.bytes += chunk.length;
                    heldBytes += chunk.length;
                }
                while (heldBytes > maxBytes) {
                    giveUpLargest();
                }
                if (reading.isGivenUp) {
                    break;
                }
            }
            if (reading.isGivenUp) {
                throw new ResultError(resultCodes.answerTooLong, `${maxBytes} bytes are held of all answers`);
            }
            return Buffer.concat(reading.chunks);
        }
        finally {
            release(reading);
        }
    };
}
