/** Entry point of the load process: `POST /run` runs one order; `POST /hold` opens connections, `POST /release` closes them. */
import process from 'node:process';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import sade from 'sade';
import {MutableDisposable} from '../../src/common/lifecycle/disposable.ts';
import {HttpListener} from '../../src/stand-ins/http-listener.ts';
import {runAsProcess} from '../../src/stand-ins/process-entry.ts';
import {HeldConnections} from './held-connections.ts';
import {LoadGenerator} from './load-generator.ts';
import {holdOrderSchema, loadOrderSchema} from './types.ts';

function loadRoutes(held: MutableDisposable<HeldConnections>): Hono {
	const routes = new Hono();
	routes.post('/run', async context => {
		const order = loadOrderSchema.parse(await context.req.json());
		return context.json(await new LoadGenerator(order).run());
	});
	routes.post('/hold', async context => {
		const order = holdOrderSchema.parse(await context.req.json());
		const connections = new HeldConnections();
		held.value = connections;
		await connections.open(order);
		return context.json({});
	});
	routes.post('/release', context => {
		held.value = undefined;
		return context.json({});
	});
	return routes;
}

sade('load', true)
	.option('--port', 'Port to listen on; 0 = any', 0)
	.action(async (options: {readonly port: number}) => {
		const held = new MutableDisposable<HeldConnections>();
		const handleRequest = getRequestListener(loadRoutes(held).fetch, {overrideGlobalObjects: false});
		const listener = new HttpListener({address: '127.0.0.1', port: options.port}, (request, response) => {
			void handleRequest(request, response);
		});
		await runAsProcess({
			start: async () => listener.listen(),
			dispose() {
				held.dispose();
				listener.dispose();
			},
		});
	})
	.parse(process.argv);
