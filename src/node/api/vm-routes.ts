/** Routes for the state and control of VMs: status, drain, burn report, quarantine, log level. */
import {Hono} from 'hono';
import {gatewayProblem, problemResponse} from './problems.ts';
import {readBody, type ApiEnvironment} from './request-input.ts';
import {logLevelSchema, type OperatorGateway} from './types.ts';

/** Creates the routes under `/v1` for VMs. */
export function vmRoutes(gateway: OperatorGateway): Hono<ApiEnvironment> {
	const routes = new Hono<ApiEnvironment>();
	routes.get('/status', context => context.json(gateway.status()));
	routes.get('/vms', context => context.json({vms: gateway.vms()}));
	routes.post('/vms/:name/drain', async context => {
		const outcome = await gateway.drain(context.req.param('name'), context.var.operator.name);
		return outcome.match(vm => context.json(vm, 202), cause => problemResponse(gatewayProblem(cause)));
	});
	routes.get('/burn', async context => context.json(await gateway.burn()));
	routes.get('/quarantine', context => context.json({entries: gateway.quarantine()}));
	routes.delete('/quarantine/:fingerprint', async context => {
		const outcome = await gateway.liftQuarantine(context.req.param('fingerprint'), context.var.operator.name);
		return outcome.match(() => context.body(null, 204), cause => problemResponse(gatewayProblem(cause)));
	});
	routes.get('/log-level', context => context.json({level: gateway.logLevel()}));
	routes.put('/log-level', async context => {
		const body = await readBody(context, logLevelSchema);
		return body.match(({level}) => {
			gateway.setLogLevel(level);
			return context.json({level});
		}, problemResponse);
	});
	return routes;
}
