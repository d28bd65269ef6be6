/** Entry point: `node --import=tsx src/stand-ins/platform/main.ts --port N`. */
import process from 'node:process';
import sade from 'sade';
import {runAsProcess} from '../process-entry.ts';
import {PlatformStandIn} from './platform-stand-in.ts';

type Options = {readonly port: number; readonly address: string};

sade('platform-stand-in', true)
	.option('--port', 'Port to listen on; 0 selects a free port', 0)
	.option('--address', 'IP address to listen on', '127.0.0.1')
	.action(async (options: Options) => {
		await runAsProcess(new PlatformStandIn(options.port, options.address));
	})
	.parse(process.argv);
