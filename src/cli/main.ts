/** Entry point of the command `jaydale`. */
import process from 'node:process';
import {processTerminal} from './process-terminal.ts';
import {runDaemon} from './run-daemon.ts';
import {runCommandLine} from './run.ts';
import {version} from './version.ts';

process.exitCode = await runCommandLine(process.argv.slice(2), version, processTerminal(), runDaemon);
