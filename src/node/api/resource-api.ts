/** HTTP API for operators: authentication, authorisation, body limit and routing. */
import {Hono, type MiddlewareHandler} from 'hono';
import {type Logger} from '../logging/types.ts';
import {type Metrics} from '../metrics/types.ts';
import {type OperatorDirectory} from './operator-directory.ts';
import {problem, problemResponse} from './problems.ts';
import {type ApiEnvironment} from './request-input.ts';
import {resourceRoutes} from './resource-routes.ts';
import {vmRoutes} from './vm-routes.ts';
import {type OperatorGateway} from './types.ts';

/** Dependencies of the API. */
export type ResourceApiParts = {
	readonly gateway: OperatorGateway;
	readonly directory: OperatorDirectory;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Maximum size of a request body in bytes. */
	readonly bodyBytes: number;
};

const readingMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** The resource API as a function from request to response, independent of the server. */
export class ResourceApi {
	private readonly _application = new Hono<ApiEnvironment>();

	constructor(private readonly _parts: ResourceApiParts) {
		const application = this._application;
		application.use(this._authenticate());
		application.route('/v1', resourceRoutes(_parts.gateway));
		application.route('/v1', vmRoutes(_parts.gateway));
		application.notFound(context => problemResponse(problem('not-found', `no ${context.req.method} ${context.req.path} in this interface`)));
		application.onError(error => this._answerFault(error));
	}

	async handle(request: Request): Promise<Response> {
		const answer = await this._application.fetch(request);
		this._parts.metrics.operatorAnswered(request.method, answer.status);
		return answer;
	}

	/** Authenticates and authorises the operator before the body is read, so that unauthenticated clients use no memory. */
	private _authenticate(): MiddlewareHandler<ApiEnvironment> {
		return async (context, next) => {
			const operator = this._parts.directory.authenticate(context.req.header('authorization'));
			if (operator.isNothing) {
				return problemResponse(problem('unauthorised', 'allowed: an Authorization header with the bearer token of an operator'));
			}

			if (operator.value.role !== 'write' && !readingMethods.has(context.req.method)) {
				return problemResponse(problem('forbidden', `${operator.value.name} has the role read; allowed: role write`));
			}

			context.set('operator', operator.value);
			context.set('bodyBytes', this._parts.bodyBytes);
			await next();
			return undefined;
		};
	}

	/** Logs an internal error; the response contains no details of it. */
	private _answerFault(error: Error): Response {
		this._parts.logger.error('resource API failed', {error: error.message, stack: error.stack});
		return problemResponse(problem('internal', 'details are in the log of this VM'));
	}
}
