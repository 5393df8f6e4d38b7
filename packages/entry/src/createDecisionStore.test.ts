import { expect, test } from "vitest";
import { createDecisionStore } from "./createDecisionStore.js";
import { createTestContext } from "./testing/createTestContext.js";

test("explains a sample with the events of its attempts and vice versa, including bound fields", () => {
    const { logger, clock, lines } = createTestContext();
    const decisionStore = createDecisionStore(logger, clock);
    const bound = decisionStore.logger.child({ sample: "forecast/1/0/0" });
    bound.info("samplePlaced", { attempt: "a1", sampler: "rollout-1" });
    bound.warn("attemptFailed", { attempt: "a1" });
    bound.info("samplePlaced", { attempt: "a2", sampler: "rollout-2" });
    decisionStore.logger.info("jobTaken", { job: "forecast" });
    expect(lines).toHaveLength(4);
    expect(decisionStore.explain("a1").decisions.map(each => each.event)).toEqual(
        decisionStore.explain("forecast/1/0/0").decisions.map(each => each.event),
    );
    expect(decisionStore.explain("forecast/1/0/0").decisions).toHaveLength(3);
    expect(decisionStore.explain("forecast").decisions).toEqual([]);
});

test("stores only the latest events", () => {
    const { clock } = createTestContext();
    const silent = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
    const decisionStore = createDecisionStore(silent, clock);
    const kept = 8_192;
    for (let request = 0; request < kept + 2; request++) {
        decisionStore.logger.info("requestPlaced", { request: `r${request}` });
    }
    const found = ["r0", "r1", "r2", `r${kept + 1}`].map(id => decisionStore.explain(id).decisions.length);
    expect(found).toEqual([0, 0, 1, 1]);
});
