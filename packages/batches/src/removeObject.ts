import type { ObjectStore } from "@auburnarch/types/ObjectStore";

/** Removes the object under a key, if there is one. */
export async function removeObject(
    store: Pick<ObjectStore, "read" | "remove">,
    key: string,
): Promise<void> {
    const object = await store.read(key);
    if (object !== undefined) {
        await store.remove(key, object.version);
    }
}
