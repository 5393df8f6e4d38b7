import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { VmList } from "@auburnarch/types/VmList";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import { z } from "zod";
import { createJsonClient } from "./createJsonClient.js";
import type { HttpClientOptions } from "./HttpClientOptions.js";
import { parseAnswer } from "./parseAnswer.js";

const vmRecord = z.object({
    vm: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    region: z.string(),
    role: z.enum(["entry", "sidecar"]),
    sampler: z.string().optional(),
    state: z.enum(["live", "leaving"]),
}).transform(record => record as VmRecord);
const vmsAnswer = z.object({ vms: z.array(vmRecord) });

/** Creates a client of the platform's VM list over HTTP (`GET /vms`). */
export function createHttpVmList(baseUrl: string, options: HttpClientOptions = {}): VmList {
    const faultCode = resultCodes.vmListUnavailable;
    const client = createJsonClient(baseUrl, faultCode, options);
    return async () => {
        const { value } = await client.call("GET", "/vms");
        return parseAnswer(vmsAnswer, value, faultCode).vms;
    };
}
