/** Contents of the files, as TLS takes them. */
export interface TrustMaterial {
    cert: string;
    key: string;
    ca: string;
}
