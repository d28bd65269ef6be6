/** Entry point: `node --import=tsx src/stand-ins/caller/main.ts --seeds 127.0.0.1:8080 --service NAME …`. */
import process from 'node:process';
import sade from 'sade';
import {runAsProcess} from '../process-entry.ts';
import {CallerStandIn} from './caller-stand-in.ts';

type Options = {
	readonly port: number;
	readonly address: string;
	readonly seeds: string;
	readonly name: string;
	readonly service: string;
	readonly rate: number;
	readonly orders: number;
	readonly bytes: number;
	readonly 'download-every': number;
	readonly 'download-bytes': number;
	readonly work?: number;
	readonly timeout: number;
	readonly tries: number;
	readonly connections: number;
	readonly seed: number;
};

sade('caller-stand-in', true)
	.option('--port', 'Port of the admin endpoints; 0 selects a free port', 0)
	.option('--address', 'IP address of the admin endpoints', '127.0.0.1')
	.option('--seeds', 'VMs from which addresses are requested: IP:PORT,IP:PORT', '127.0.0.1:8080')
	.option('--name', 'Name of the caller', 'caller')
	.option('--service', 'Service to call', 'service')
	.option('--rate', 'Calls per second', 100)
	.option('--orders', 'Share of calls that are orders (POST)', 0)
	.option('--bytes', 'Length of a response body in bytes', 256)
	.option('--download-every', 'One call in this many is a download; 0 disables downloads', 0)
	.option('--download-bytes', 'Length of a download in bytes', 1_000_000)
	.option('--work', 'Work at the backend server in milliseconds (default: its own setting)')
	.option('--timeout', 'Time-out of a call in milliseconds', 5000)
	.option('--tries', 'Limit of tries for one call', 3)
	.option('--connections', 'Limit of connections to each VM', 64)
	.option('--seed', 'Random seed for the choice of VMs', 1)
	.action(async (options: Options) => {
		await runAsProcess(new CallerStandIn(
			{
				name: options.name, seeds: options.seeds.split(','), maxTries: options.tries, connectionsPerVm: options.connections,
			},
			{
				name: options.name,
				service: options.service,
				callsPerSecond: options.rate,
				orderShare: options.orders,
				answerBytes: options.bytes,
				downloadEvery: options['download-every'],
				downloadBytes: options['download-bytes'],
				workMilliseconds: options.work,
				timeoutMilliseconds: options.timeout,
			},
			options.address,
			options.port,
			options.seed,
		));
	})
	.parse(process.argv);
