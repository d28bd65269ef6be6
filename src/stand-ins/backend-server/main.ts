/** Process entry: `node --import=tsx src/stand-ins/backend-server/main.ts --port N`. */
import process from 'node:process';
import sade from 'sade';
import {runAsProcess} from '../process-entry.ts';
import {BackendServerGroup} from './backend-server-group.ts';
import {defaultBackendServerSettings as defaults} from './types.ts';

type Options = {
	readonly port: number;
	readonly count: number;
	readonly address: string;
	readonly slots: number;
	readonly connections: number;
	readonly queue: number;
	readonly work: number;
	readonly bytes: number;
	readonly record: boolean;
};

sade('backend-server-stand-in', true)
	.option('--port', 'Port to listen on; 0 = any', 0)
	.option('--count', 'Backend servers in this process, each on a port of its own', 1)
	.option('--address', 'IP number to listen on', defaults.address)
	.option('--slots', 'Calls run at once', defaults.slots)
	.option('--connections', 'Connections accepted', defaults.connectionLimit)
	.option('--queue', 'Calls that may wait', defaults.queueLimit)
	.option('--work', 'Milliseconds of work of a call', defaults.workMilliseconds)
	.option('--bytes', 'Bytes of an answer', defaults.answerBytes)
	.option('--record', 'Record every call (--no-record for benchmarks)', true)
	.action(async (options: Options) => {
		await runAsProcess(new BackendServerGroup(options.count, {
			port: options.port,
			address: options.address,
			slots: options.slots,
			connectionLimit: options.connections,
			queueLimit: options.queue,
			workMilliseconds: options.work,
			answerBytes: options.bytes,
			recordsCalls: options.record,
			crash: 'exit',
		}));
	})
	.parse(process.argv);
