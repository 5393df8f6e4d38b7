import { connect, createServer } from "node:net";

/**
 * Creates a proxy to `target()` on loopback. `resetOpen` resets connections that are open now; later ones work.
 */
export async function createLink(host, target) {
    const pairs = new Set();

    function pass(pair, from, to) {
        from.on("data", chunk => {
            if (!to.destroyed) {
                to.write(chunk);
            }
        });
        from.on("end", () => to.end());
        from.on("error", () => to.destroy());
        from.on("close", () => {
            to.destroy();
            pairs.delete(pair);
        });
    }

    const server = createServer({ allowHalfOpen: true, noDelay: true }, client => {
        const { host: targetHost, port } = target();
        const far = connect({ host: targetHost, port, allowHalfOpen: true, noDelay: true });
        const pair = { client, far };
        pairs.add(pair);
        pass(pair, client, far);
        pass(pair, far, client);
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        host,
        port: server.address().port,
        resetOpen: (accepts = () => true) => {
            for (const { client, far } of [...pairs].filter(accepts)) {
                client.resetAndDestroy();
                far.resetAndDestroy();
            }
        },
        close: () => {
            server.close();
            pairs.forEach(({ client, far }) => {
                client.destroy();
                far.destroy();
            });
        },
    };
}
