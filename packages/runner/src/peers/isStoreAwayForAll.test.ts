import { expect, test } from "vitest";
import { createPeerView } from "../testing/createPeerView.js";
import { isStoreAwayForAll } from "./isStoreAwayForAll.js";

const served = createPeerView("r2");
const turnedAway = createPeerView("r3", { storeSilentMs: 700 });
const dead = createPeerView("r4", { storeSilentMs: 700 }, false);
const unheard = { ...served, status: undefined };

test("a runner does not take its own loss of the store for the store's absence", () => {
    const judged = [
        ["its calls succeed", isStoreAwayForAll(0, [turnedAway])],
        ["a peer has the store", isStoreAwayForAll(500, [served, turnedAway])],
        ["all peers are dead here", isStoreAwayForAll(500, [dead])],
        ["no peer was heard yet", isStoreAwayForAll(500, [unheard])],
        ["each peer heard has lost it too", isStoreAwayForAll(500, [turnedAway, dead, unheard])],
        ["there are no peers", isStoreAwayForAll(500, [])],
    ];
    expect(judged).toMatchInlineSnapshot(`
      [
        [
          "its calls succeed",
          false,
        ],
        [
          "a peer has the store",
          false,
        ],
        [
          "all peers are dead here",
          false,
        ],
        [
          "no peer was heard yet",
          false,
        ],
        [
          "each peer heard has lost it too",
          true,
        ],
        [
          "there are no peers",
          true,
        ],
      ]
    `);
});
