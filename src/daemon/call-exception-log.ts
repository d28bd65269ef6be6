/** Log line and metric of an exception that has ended a call. */
import {type CallException} from '../node/front/call-effect-executor.ts';
import {type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';

export function reportCallException({traceId, error}: CallException, logger: Logger, metrics: Metrics): void {
	metrics.unexpectedError();
	logger.error('exception in a call', {traceId, failure: error instanceof Error ? error.stack : String(error)});
}
