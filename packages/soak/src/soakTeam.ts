/** The team of all clients of a run, with its key as they send it. */
export const soakTeam = { name: "hule", key: "soak-s3cret-of-hule" } as const;
