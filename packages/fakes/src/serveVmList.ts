import type { VmList } from "@auburnarch/types/VmList";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import { serveJson } from "./serveJson.js";

/** Serves the VM list: `GET /vms`. */
export function serveVmList(vmList: VmList, port = 0): Promise<HttpServerHandle> {
    return serveJson(async () => ({ status: 200, value: { vms: await vmList() } }), port);
}
