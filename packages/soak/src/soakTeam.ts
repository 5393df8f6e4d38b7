/** Team of all clients of a run, with the key that they send. */
export const soakTeam = { name: "hule", key: "soak-s3cret-of-hule" } as const;
