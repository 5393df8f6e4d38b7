/** Contents of the files, as Node's TLS functions take them. */
export interface TrustMaterial {
    cert: string;
    key: string;
    ca: string;
}
