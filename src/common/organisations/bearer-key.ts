/** Reads the key of an organisation from the headers of a call (RFC 6750, 2.1). */

/** The authentication scheme of keys, which the header `WWW-Authenticate` of a refusal states. */
export const keyScheme = 'Bearer';

/** The scheme is case-insensitive (RFC 9110, 11.1). A key may contain any characters, since operators choose keys freely. */
const credentialsPattern = /^bearer +(?<key>\S.*)$/isv;

/** The name of the header with the key, in lower case. */
const headerName = 'authorization';

/**
 * Returns the key, or undefined if there is none, the scheme is another or several `Authorization` headers were sent.
 * `rawHeaders` = names and values as received: node:http drops repeated `Authorization` headers from its parsed ones.
 */
export function bearerKey(rawHeaders: readonly string[]): string | undefined {
	let credentials: string | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.length === headerName.length && rawHeaders[index]!.toLowerCase() === headerName) {
			if (credentials !== undefined) {
				return undefined;
			}

			credentials = rawHeaders[index + 1]!;
		}
	}

	return credentials === undefined ? undefined : credentialsPattern.exec(credentials)?.groups?.key;
}
