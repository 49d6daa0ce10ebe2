/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for the platform's log: POST /append, GET /records?from=OFFSET. Offsets begin at 1.

#include "standin.h"

#include <QUrl>
#include <QUrlQuery>

#include <chrono>
#include <deque>

namespace roadferry
{

namespace
{

constexpr qint64 kRecordsAtOnce = 500;
constexpr std::int64_t kMillisecondUs = 1'000;

class LogStandin final : public Standin
{
public:
	LogStandin(IoPool& _pool, const StandinSettings& _settings) : pool(_pool), settings(_settings)
	{
	}

	void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply) override
	{
		if (this->faults.handle(_request, _reply))
		{
			return;
		}
		const FaultMode fault = this->faults.next();
		if (fault == FaultMode::Out)
		{
			_reply->abort();
			return;
		}
		const std::int64_t delay = fault == FaultMode::Slow ? this->faults.milliseconds() * kMillisecondUs : 0;
		this->pool.runAfter(0, delay, [this, _request, _reply, fault] { this->serve(_request, _reply, fault); });
	}

private:
	void serve(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply, FaultMode _fault)
	{
		const QUrl url(QString::fromStdString(_request.target));
		if (_request.method == "POST" && url.path() == "/append")
		{
			this->append(_request.body, _reply, _fault);
			return;
		}
		if (url.path() == "/records")
		{
			this->read(QUrlQuery(url).queryItemValue("from").toLongLong(), _reply);
			return;
		}
		_reply->send(jsonResponse(404, {}));
	}

	void append(const std::string& _record, const std::shared_ptr<HttpReply>& _reply, FaultMode _fault)
	{
		if (!this->withinRate())
		{
			_reply->send(jsonResponse(429, {}));
			return;
		}
		this->records.push_back(_record);
		this->appends += 1;
		if (this->settings.retain > 0 && static_cast<std::int64_t>(this->records.size()) > this->settings.retain)
		{
			this->records.pop_front();
			this->first += 1;
		}
		if (_fault == FaultMode::Drop)
		{
			_reply->abort();
			return;
		}
		_reply->send(jsonResponse(200, QJsonObject{{"offset", this->next() - 1}}));
	}

	void read(qint64 _from, const std::shared_ptr<HttpReply>& _reply) const
	{
		const qint64 from = std::max(_from, this->first);
		QJsonArray list;
		for (qint64 offset = from; offset < this->next() && offset < from + kRecordsAtOnce; ++offset)
		{
			const std::string& record = this->records.at(static_cast<std::size_t>(offset - this->first));
			list.append(QJsonObject{{"offset", offset}, {"data", QString::fromStdString(record)}});
		}
		_reply->send(jsonResponse(
			200, QJsonObject{
					 {"first", this->first}, {"next", this->next()}, {"appends", this->appends}, {"records", list}}));
	}

	[[nodiscard]] qint64 next() const
	{
		return this->first + static_cast<qint64>(this->records.size());
	}

	bool withinRate()
	{
		const auto now = std::chrono::steady_clock::now();
		if (now - this->windowStart >= std::chrono::seconds(1))
		{
			this->windowStart = now;
			this->windowAppends = 0;
		}
		this->windowAppends += 1;
		return this->windowAppends <= this->settings.rate;
	}

	IoPool& pool;
	StandinSettings settings;
	FaultSwitch faults;
	std::deque<std::string> records;
	qint64 first = 1;
	qint64 appends = 0;
	std::chrono::steady_clock::time_point windowStart;
	std::int64_t windowAppends = 0;
};

} // namespace

std::unique_ptr<Standin> makeLogStandin(IoPool& _pool, const StandinSettings& _settings)
{
	return std::make_unique<LogStandin>(_pool, _settings);
}

} // namespace roadferry
