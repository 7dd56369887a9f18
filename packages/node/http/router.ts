/** Finds the route of a request by method and path. */
import { CodedError } from "@coltsfootpond/common";
import type { Route } from "./types.ts";

/** A route with the decoded values of the `{name}` parts of its pattern. */
export interface RouteMatch {
  readonly route: Route;
  readonly parameters: Readonly<Record<string, string>>;
}

const PARAMETER_PATTERN = /^\{([A-Za-z]+)\}$/;

interface PatternPart {
  readonly text: string;
  readonly parameter: string | undefined;
}

interface CompiledRoute {
  readonly route: Route;
  readonly parts: readonly PatternPart[];
}

function compile(route: Route): CompiledRoute {
  const parts = route.pattern.split("/").map((text) => ({
    text,
    parameter: PARAMETER_PATTERN.exec(text)?.[1],
  }));
  return { route, parts };
}

function decodePart(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    throw CodedError.create("MALFORMED", {
      message: "the path has a bad percent encoding",
    });
  }
}

function matchParts(
  parts: readonly PatternPart[],
  segments: readonly string[],
): Record<string, string> | undefined {
  if (parts.length !== segments.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, part] of parts.entries()) {
    const segment = segments[index] ?? "";
    if (part.parameter === undefined) {
      if (part.text !== segment) return undefined;
    } else {
      if (segment === "") return undefined;
      parameters[part.parameter] = decodePart(segment);
    }
  }
  return parameters;
}

/** Matches requests against a fixed list of routes; the first match wins. */
export class Router {
  readonly #routes: readonly CompiledRoute[];

  private constructor(routes: readonly CompiledRoute[]) {
    this.#routes = routes;
  }

  static create(routes: readonly Route[]): Router {
    return new Router(routes.map(compile));
  }

  /** Throws `NOT_FOUND`, `METHOD_NOT_ALLOWED` or `MALFORMED`. */
  find(method: string, path: string): RouteMatch {
    const segments = path.split("/");
    let pathMatched = false;
    for (const { route, parts } of this.#routes) {
      const parameters = matchParts(parts, segments);
      if (parameters === undefined) continue;
      if (route.method === method) return { route, parameters };
      pathMatched = true;
    }
    throw CodedError.create(pathMatched ? "METHOD_NOT_ALLOWED" : "NOT_FOUND");
  }
}
