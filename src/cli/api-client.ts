/** HTTP client of the resource API, with failover between several VMs. */
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {failure, type Failure} from '../common/errors/failure.ts';
import {problemTypePrefix} from '../common/protocol/headers.ts';
import {problemSchema, type Problem} from '../node/api/types.ts';
import {type HttpResponse, type Terminal} from './types.ts';

/** Why a request failed. */
export type ClientFailure
	/** No connection to any VM: no request was sent, so nothing was changed. */
	= | Failure<'unreachable'>
	/** The request was sent, but no response arrived: whether it took effect is unknown. */
		| Failure<'no-answer'>
	/** The response does not come from a resource API of this version. */
		| Failure<'not-jaydale'>
	/** The API rejected the request. */
		| (Failure<'problem'> & {readonly problem: Problem});

type RequestOptions = {
	readonly body?: unknown;
	/** Limit for the whole exchange; `defaultTimeoutMilliseconds` if absent. */
	readonly timeoutMilliseconds?: number;
};

/** A VM answers a change within a few seconds, even while the platform's service is slow. */
const defaultTimeoutMilliseconds = 15_000;

/** Error codes of Node and undici for a connection that was not established, so that no request was sent. */
const notConnectedCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends each request to the first VM that accepts it. */
export class ApiClient {
	/** In the order in which they are tried. A server that does not respond to a request moves to the end. */
	private _servers: readonly string[];
	private readonly _token: string;
	private readonly _terminal: Terminal;

	constructor(servers: readonly string[], token: string, terminal: Terminal) {
		this._servers = servers;
		this._token = token;
		this._terminal = terminal;
	}

	/** Sends a request and parses the response body with the schema. */
	async request<Schema extends z.ZodType>(method: string, path: string, schema: Schema, options: RequestOptions = {}): Promise<Result<z.infer<Schema>, ClientFailure>> {
		const response = await this.send(method, path, options);
		return response.andThen(text => parseBody(text, schema));
	}

	/**
	 * Sends a request and returns the raw response body. The next VM is tried if the request was not sent or the
	 * VM is not ready; after a missing response only for GET, since any other request may have taken effect.
	 */
	async send(method: string, path: string, options: RequestOptions = {}): Promise<Result<string, ClientFailure>> {
		let lastFailure: ClientFailure = failure('unreachable', 'no server address given');
		for (const server of this._servers) {
			const outcome = await this._sendTo(server, method, path, options);
			if (outcome.isOk()) {
				return outcome;
			}

			lastFailure = outcome.error;
			if (lastFailure.kind === 'no-answer') {
				this._servers = [...this._servers.filter(other => other !== server), server];
			}

			const canTryNextServer = lastFailure.kind === 'unreachable' || isNotReady(lastFailure) || (lastFailure.kind === 'no-answer' && method === 'GET');
			if (!canTryNextServer) {
				break;
			}
		}

		return err(lastFailure);
	}

	private async _sendTo(server: string, method: string, path: string, options: RequestOptions): Promise<Result<string, ClientFailure>> {
		const {body, timeoutMilliseconds = defaultTimeoutMilliseconds} = options;
		try {
			const response = await this._terminal.sendHttpRequest(`${server}${path}`, {
				method,
				headers: {
					authorization: `Bearer ${this._token}`,
					...(body !== undefined && {'content-type': 'application/json'}),
				},
				...(body !== undefined && {body: JSON.stringify(body)}),
				signal: AbortSignal.any([AbortSignal.timeout(timeoutMilliseconds), this._terminal.signal]),
			});
			return await parseResponse(response);
		} catch (error) {
			return err(toFailure(server, error));
		}
	}
}

/** A VM that has just started rejects all requests until it has a configuration; another VM may have one already. */
function isNotReady(value: ClientFailure): boolean {
	return value.kind === 'problem' && value.problem.type === `${problemTypePrefix}not-ready`;
}

async function parseResponse(response: HttpResponse): Promise<Result<string, ClientFailure>> {
	const text = await response.text();
	if (response.status < 400) {
		return ok(text);
	}

	const parsed = problemSchema.safeParse(parseJson(text));
	if (!parsed.success || !parsed.data.type.startsWith(problemTypePrefix)) {
		return err(failure('not-jaydale', `the response has status ${response.status} and does not come from jaydale; check the address`));
	}

	return err({...failure('problem', `${parsed.data.title}: ${parsed.data.detail}`), problem: parsed.data});
}

function parseBody<Schema extends z.ZodType>(text: string, schema: Schema): Result<z.infer<Schema>, ClientFailure> {
	const parsed = schema.safeParse(parseJson(text));
	return parsed.success ? ok(parsed.data) : err(failure('not-jaydale', 'the response does not match the schema of this version of jaydale'));
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function toFailure(server: string, error: unknown): ClientFailure {
	const cause: unknown = error instanceof Error ? error.cause ?? error : error;
	const code = cause instanceof Error && 'code' in cause ? String(cause.code) : '';
	const reason = cause instanceof Error ? cause.message : String(cause);
	return notConnectedCodes.has(code)
		? failure('unreachable', `${server} cannot be reached: ${code}`)
		: failure('no-answer', `${server} did not answer: ${reason === '' ? code : reason}`);
}
