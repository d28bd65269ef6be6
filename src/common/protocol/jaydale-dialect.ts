/** jaydale's own dialect: the `jaydale-` headers, problem bodies (RFC 9457) and the load endpoint. */
import {type BackendServerIdentity, type CallOutcome, type LoadReport} from '../calls/types.ts';
import {keyScheme} from '../organisations/bearer-key.ts';
import {
	type ParsedAnswerHead, type AttemptMetadata, type Dialect, type HeaderMap, type GeneratedAnswer, type Refusal,
} from './dialect.ts';
import {forwardedHeaders} from './forwarding.ts';
import {
	declaredNotRunHeader, leavingHeader, loadReportHeader, organisationHeader, outcomeHeader, problemTypePrefix, retryHeader, timeoutHeader, traceHeader,
} from './headers.ts';
import {parseLoadBody, parseLoadHeader} from './load-report.ts';

const maxLoadBodyCharacters = 4096;

export class JaydaleDialect implements Dialect {
	/** Answers are streamed without buffering; a download that fails midway is resumed from its offset if it has a validator. */
	readonly heldAnswerBytes = 0;

	attemptHeaders(callerHeaders: HeaderMap, {timeoutMilliseconds, traceparent, identified}: AttemptMetadata): string[] {
		// A caller's own `jaydale-organisation` is not forwarded, like all headers of that prefix.
		const headers = forwardedHeaders(identified === undefined ? callerHeaders : {...callerHeaders, authorization: undefined});
		if (identified?.organisation !== undefined) {
			headers.push(organisationHeader, identified.organisation);
		}

		headers.push(timeoutHeader, String(Math.max(1, Math.floor(timeoutMilliseconds))), retryHeader, 'none');
		if (traceparent !== undefined) {
			headers.push(traceHeader, traceparent);
		}

		return headers;
	}

	parseAnswerHead(_status: number, headers: HeaderMap): ParsedAnswerHead {
		const header = headers[loadReportHeader];
		return {
			isForThisCall: true,
			isDeclaredNotRun: headers[declaredNotRunHeader] === 'not-run',
			report: parseLoadHeader(typeof header === 'string' ? header : undefined, headers[leavingHeader] === 'true'),
		};
	}

	endsConnection(): boolean {
		return false;
	}

	endsProbeConnection(): boolean {
		return false;
	}

	answerHeaders(headers: HeaderMap, outcome: CallOutcome): string[] {
		const forwarded = forwardedHeaders(headers);
		forwarded.push(outcomeHeader, outcome);
		return forwarded;
	}

	refusal({status, reason, outcome, retryAfterMilliseconds}: Refusal): GeneratedAnswer {
		const body = JSON.stringify({
			type: problemTypePrefix + reason,
			title: reason.replaceAll('-', ' '),
			status,
			outcome,
			...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds)}),
		});
		return {
			headers: {
				'content-type': 'application/problem+json',
				[outcomeHeader]: outcome,
				...(reason === 'unauthorized' ? {'www-authenticate': keyScheme} : {}),
				...(retryAfterMilliseconds === undefined ? {} : {'retry-after': String(Math.max(1, Math.ceil(retryAfterMilliseconds / 1000)))}),
			},
			body,
		};
	}

	parseLoadProbe(_identity: BackendServerIdentity, _status: number, _headers: HeaderMap, body: string): LoadReport | undefined {
		return body.length > maxLoadBodyCharacters ? undefined : parseLoadBody(JSON.parse(body));
	}
}
