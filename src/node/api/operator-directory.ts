/** Authenticates the operators of the resource API. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {Maybe} from 'true-myth/maybe';
import {type OperatorRole, type OperatorToken} from '../../common/settings/settings.ts';

/** An authenticated operator. */
export type Operator = {
	readonly name: string;
	readonly role: OperatorRole;
};

type Entry = Operator & {readonly digest: Buffer};

/** Identifies operators by their bearer tokens, of which it stores only digests. */
export class OperatorDirectory {
	private readonly _entries: readonly Entry[];

	constructor(tokens: readonly OperatorToken[]) {
		this._entries = tokens.map(({name, role, token}) => ({name, role, digest: digestOf(token)}));
	}

	/**
	 * Returns the operator whose token an Authorization header contains.
	 *
	 * Resists timing attacks that guess a token byte by byte: digests have equal length, are compared in constant time, and
	 * every entry is compared even after a match.
	 */
	authenticate(authorization: string | undefined): Maybe<Operator> {
		const token = /^Bearer +(?<token>\S+)$/iv.exec(authorization ?? '')?.groups?.token;
		if (token === undefined) {
			return Maybe.nothing();
		}

		const digest = digestOf(token);
		const matches = this._entries.map(entry => timingSafeEqual(entry.digest, digest));
		return Maybe.of(this._entries[matches.indexOf(true)]).map(({name, role}) => ({name, role}));
	}
}

function digestOf(token: string): Buffer {
	return createHash('sha256').update(token).digest();
}
