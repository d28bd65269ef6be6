/** Error responses of the resource API (RFC 9457 problem details). */
import {problemTypePrefix} from '../../common/protocol/headers.ts';
import {type InputFailure} from '../../common/settings/schema-failures.ts';
import {type GatewayFailure, type Problem} from './types.ts';

/** Last part of a problem's type, after the prefix. Clients may rely on it; titles and details may change. */
export type ProblemName
	= | 'invalid-input'
		| 'unauthorised'
		| 'forbidden'
		| 'not-found'
		| 'conflict'
		| 'precondition-required'
		| 'too-large'
		| 'unsupported-media-type'
		| 'outcome-unknown'
		| 'unavailable'
		| 'not-ready'
		| 'internal';

const catalogue: Readonly<Record<ProblemName, {readonly status: number; readonly title: string}>> = {
	'invalid-input': {status: 400, title: 'The input is not allowed; nothing was changed'},
	unauthorised: {status: 401, title: 'No known operator'},
	forbidden: {status: 403, title: 'The operator may not do this'},
	'not-found': {status: 404, title: 'No such thing'},
	conflict: {status: 409, title: 'Another change came first; nothing was changed'},
	'precondition-required': {status: 428, title: 'The expected version is lacking; nothing was changed'},
	'too-large': {status: 413, title: 'The body is too large; nothing was changed'},
	'unsupported-media-type': {status: 415, title: 'The body must be application/json; nothing was changed'},
	'outcome-unknown': {status: 504, title: 'The change may or may not have been accepted'},
	unavailable: {status: 503, title: 'The platform\'s service did not take part; nothing was changed'},
	'not-ready': {status: 503, title: 'This VM has no configuration yet'},
	internal: {status: 500, title: 'Internal error of this VM'},
};

type ProblemExtras = Pick<Problem, 'faults' | 'winner' | 'operation'> & {readonly status?: number};

/** Creates a problem with the title and status of its type. */
export function problem(name: ProblemName, detail: string, extras: ProblemExtras = {}): Problem {
	const entry = catalogue[name];
	return {
		type: `${problemTypePrefix}${name}`,
		title: entry.title,
		status: entry.status,
		detail,
		...extras,
	};
}

/** Creates the response that carries a problem. */
export function problemResponse(value: Problem): Response {
	const headers = new Headers({'content-type': 'application/problem+json', 'cache-control': 'no-store'});
	if (value.status === catalogue.unauthorised.status) {
		headers.set('www-authenticate', 'Bearer');
	}

	return Response.json(value, {status: value.status, headers});
}

/** Creates a problem that lists all errors of an input. */
export function invalidInput(faults: readonly InputFailure[]): Problem {
	return problem('invalid-input', `${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`, {
		faults: faults.map(fault => ({field: fault.field.unwrapOr(''), kind: fault.kind, message: fault.message})),
	});
}

/** Converts a failure of the gateway to a problem. `hasPrecondition`: the request had an If-Match or If-None-Match header. */
export function gatewayProblem(value: GatewayFailure, hasPrecondition = false): Problem {
	switch (value.kind) {
		case 'conflict': {
			// RFC 9110, 13.1.1: the status for a false precondition is 412.
			return problem('conflict', value.message, {winner: value.winner, ...(hasPrecondition && {status: 412})});
		}

		case 'outcome-unknown': {
			return problem('outcome-unknown', value.message, {operation: value.operation});
		}

		case 'invalid': {
			return invalidInput(value.faults);
		}

		case 'unavailable':
		case 'not-found':
		case 'not-ready': {
			return problem(value.kind, value.message);
		}
	}
}
